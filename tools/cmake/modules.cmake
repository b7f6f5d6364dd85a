# Declares the library of a module: one folder under src/. Without sources it is
# an interface library.
#
#   plantaintally_module(NAME SOURCES a.cpp ... DEPENDS base ...
#                        [LIBRARIES third_party ...])
function(plantaintally_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
    if(ARG_SOURCES)
        add_library(${name} STATIC ${ARG_SOURCES})
        set(scope PUBLIC)
    else()
        add_library(${name} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_link_libraries(${name} ${scope} plantaintally_options ${ARG_DEPENDS}
                          ${ARG_LIBRARIES})
endfunction()

# Sets `result` to the names of the test cases of a program that KNOWN-RED.txt
# lists. Commas are escaped for Catch2, where they separate alternatives.
function(plantaintally_known_failures program result)
    set(list "${CMAKE_SOURCE_DIR}/KNOWN-RED.txt")
    set_property(DIRECTORY "${CMAKE_SOURCE_DIR}" APPEND PROPERTY
                 CMAKE_CONFIGURE_DEPENDS "${list}")
    set(cases "")
    file(STRINGS "${list}" entries REGEX "^${program}, \"[^\"]+\"")
    foreach(entry IN LISTS entries)
        string(REGEX REPLACE "^[a-z_]+, \"([^\"]+)\".*" "\\1" case "${entry}")
        string(REPLACE "," "\\," case "${case}")
        list(APPEND cases "${case}")
    endforeach()
    set(${result} "${cases}" PARENT_SCOPE)
endfunction()

# Declares a test that ctest runs with fixed random seeds.
function(plantaintally_add_test name program)
    add_test(NAME ${name} COMMAND ${program} --rng-seed 1 ${ARGN}
             WORKING_DIRECTORY "${CMAKE_SOURCE_DIR}")
    set_tests_properties(${name} PROPERTIES ENVIRONMENT
                                            "RC_PARAMS=seed=20261204")
endfunction()

# Declares the test program of a module. Each of its test cases that
# KNOWN-RED.txt lists is a test of its own with the label known-failure.
#
#   plantaintally_test(MODULE SOURCES tests/a.cpp ... [DEPENDS codec ...])
function(plantaintally_test module)
    if(NOT PLANTAINTALLY_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    set(name ${module}_test)
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${module} ${ARG_DEPENDS} catch_main
                                          rapidcheck)
    plantaintally_known_failures(${name} cases)
    set(exclusions "")
    set(number 0)
    foreach(case IN LISTS cases)
        math(EXPR number "${number} + 1")
        string(APPEND exclusions "~\"${case}\" ")
        plantaintally_add_test(${name}.known_failure_${number} ${name}
                               "\"${case}\"")
        set_tests_properties(${name}.known_failure_${number}
                             PROPERTIES LABELS known-failure)
    endforeach()
    plantaintally_add_test(${name} ${name} ${exclusions})
endfunction()

# Declares the program NAME, built from apps/NAME/main.cpp.
function(plantaintally_app name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
    add_executable(${name} ${name}/main.cpp)
    target_link_libraries(${name} PRIVATE plantaintally_options ${ARG_DEPENDS}
                                          ${ARG_LIBRARIES})
endfunction()
