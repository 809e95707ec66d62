# Test and demonstration programs. Their state machines and what they share is a library,
# so that the unit tests reach it.
add_library(
  standins_library STATIC
  standins/common/ConnectionSilence.cpp
  standins/common/FaultyServer.cpp
  standins/common/LaggedLoad.cpp
  standins/common/ModelTimer.cpp
  standins/common/OptionReader.cpp
  standins/common/ServiceAnswer.cpp
  standins/common/StandinControl.cpp
  standins/common/TokenFunction.cpp
  standins/standin-engine/EngineModel.cpp
  standins/standin-service/ServiceInstance.cpp
  standins/standin-store/GatewayJson.cpp
  standins/standin-store/KeyValueState.cpp
  standins/standin-store/StoreGateway.cpp
  standins/toucanstand-load/AnswerCheck.cpp
  standins/toucanstand-load/LoadPlan.cpp
  standins/toucanstand-load/LoadResult.cpp)
target_include_directories(
  standins_library PUBLIC standins standins/standin-engine standins/standin-service
                         standins/standin-store standins/toucanstand-load)
target_link_libraries(standins_library PUBLIC toucanstand_transport)

file(GLOB standins_tests CONFIGURE_DEPENDS tests/unit/standins/*.cpp)
add_executable(test_toucanstand_standins tests/CatchMain.cpp ${standins_tests})
target_link_libraries(test_toucanstand_standins PRIVATE standins_library)
add_test(NAME unit/standins COMMAND test_toucanstand_standins)
set_tests_properties(unit/standins PROPERTIES LABELS unit TIMEOUT 120)

toucanstand_program(standin-engine standins standins_library)
toucanstand_program(standin-service standins standins_library)
toucanstand_program(standin-store standins standins_library)
toucanstand_program(fault-proxy standins standins_library)
toucanstand_program(toucanstand-load standins standins_library)
