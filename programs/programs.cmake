toucanstand_program(toucanstand-entry programs toucanstand_calls toucanstand_admission
                    toucanstand_configuration toucanstand_ledger)
toucanstand_program(toucanstand-groups programs toucanstand_groups toucanstand_transport)
toucanstand_program(toucanstand-ledger programs toucanstand_ledger toucanstand_transport)
toucanstand_program(toucanstand-node programs toucanstand_configuration toucanstand_delivery
                    toucanstand_groups toucanstand_transport)
toucanstand_program(toucanstandctl programs toucanstand_configuration toucanstand_transport)
toucanstand_program(toucanstand-server programs toucanstand_platform toucanstand_calls
                    toucanstand_admission toucanstand_membership)
