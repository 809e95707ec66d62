# Test and demonstration programs. Their state machines do no I/O and are a library, so
# that the unit tests reach them.
add_library(
  standins_models STATIC
  standins/common/Base64.cpp
  standins/common/ServiceAnswer.cpp
  standins/common/TokenFunction.cpp
  standins/standin-engine/EngineModel.cpp
  standins/standin-service/ServiceModel.cpp
  standins/standin-store/KeyValueState.cpp
  standins/standin-store/StoreGateway.cpp
  standins/toucanstand-load/AnswerCheck.cpp
  standins/toucanstand-load/LoadPlan.cpp
  standins/toucanstand-load/LoadResult.cpp)
target_include_directories(
  standins_models PUBLIC standins standins/standin-engine standins/standin-service
                         standins/standin-store standins/toucanstand-load)
target_link_libraries(standins_models PUBLIC toucanstand_core)

file(GLOB standins_tests CONFIGURE_DEPENDS tests/unit/standins/*.cpp)
add_executable(test_toucanstand_standins tests/CatchMain.cpp ${standins_tests})
target_link_libraries(test_toucanstand_standins PRIVATE standins_models)
add_test(NAME unit/standins COMMAND test_toucanstand_standins)
set_tests_properties(unit/standins PROPERTIES LABELS unit TIMEOUT 120)
