# All unit test programs, so that the sanitizer build need not build anything else.
get_property(directory_targets DIRECTORY PROPERTY BUILDSYSTEM_TARGETS)
list(FILTER directory_targets INCLUDE REGEX "^test_toucanstand_")
add_custom_target(unit_tests DEPENDS ${directory_targets})

# Integration tests start the programs of this build; each Test*.cpp is one test.
add_library(integration_support STATIC tests/integration/support/HttpCaller.cpp
                                       tests/integration/support/ProcessLauncher.cpp)
target_include_directories(integration_support PUBLIC tests/integration)
target_compile_definitions(
  integration_support PRIVATE TOUCANSTAND_PROGRAM_DIRECTORY="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
target_link_libraries(integration_support PUBLIC toucanstand_transport)

function(toucanstand_integration_test name)
  add_executable(integration_${name} tests/CatchMain.cpp tests/integration/${name}.cpp)
  target_link_libraries(integration_${name} PRIVATE integration_support ${ARGN})
  add_test(NAME integration/${name} COMMAND integration_${name})
  set_tests_properties(integration/${name} PROPERTIES LABELS integration TIMEOUT 120)
endfunction()

toucanstand_integration_test(TestStandinEngine standins_library)
toucanstand_integration_test(TestStandinService standins_library)

# Prints the figures of docs/measurements/groups.md; not a test.
add_executable(measure_groups tests/measurements/MeasureGroups.cpp)
target_link_libraries(measure_groups PRIVATE toucanstand_groups)
