# Functions that declare the packages, the programs and the unit tests.

find_library(CRITERION criterion)
find_library(RAPIDCHECK rapidcheck)

# Declares the unit test program of a package from the *_test.cpp files beside
# its sources.
function(mustardwick_unit_tests name target)
  file(GLOB tests CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/src/mustardwick/${name}/*_test.cpp)
  if(NOT MUSTARDWICK_TESTS OR NOT tests)
    return()
  endif()
  add_executable(${name}_test ${tests})
  target_link_libraries(${name}_test
    PRIVATE ${target} ${ARGN} ${CRITERION} ${RAPIDCHECK})
  add_test(NAME unit.${name} COMMAND ${name}_test --jobs 2)
  set_tests_properties(unit.${name} PROPERTIES LABELS unit)
endfunction()

# Declares the library mustardwick::<name> from src/mustardwick/<name>.
function(mustardwick_package name)
  cmake_parse_arguments(arg "" "" "LINKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/src/mustardwick/${name}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  if(NOT sources)
    add_library(mustardwick_${name} INTERFACE)
    set(scope INTERFACE)
  else()
    add_library(mustardwick_${name} STATIC ${sources})
    set(scope PUBLIC)
  endif()
  add_library(mustardwick::${name} ALIAS mustardwick_${name})
  set_target_properties(mustardwick_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(mustardwick_${name} ${scope}
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(mustardwick_${name} ${scope} ${arg_LINKS})
  install(TARGETS mustardwick_${name} EXPORT mustardwick
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/mustardwick/${name}
    DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/mustardwick)
  mustardwick_unit_tests(${name} mustardwick_${name})
endfunction()

# Declares an installed program from src/mustardwick/<directory>.
function(mustardwick_program program directory)
  cmake_parse_arguments(arg "" "" "LINKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/src/mustardwick/${directory}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  add_library(mustardwick_${directory} STATIC ${sources})
  target_include_directories(mustardwick_${directory}
    PUBLIC ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(mustardwick_${directory} PUBLIC ${arg_LINKS})
  add_executable(${program}
    ${PROJECT_SOURCE_DIR}/src/mustardwick/${directory}/main.cpp)
  target_link_libraries(${program} PRIVATE mustardwick_${directory})
  install(TARGETS ${program} DESTINATION ${CMAKE_INSTALL_BINDIR})
  mustardwick_unit_tests(${directory} mustardwick_${directory})
endfunction()
