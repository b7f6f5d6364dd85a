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

# Declares the test program of a module. ctest runs it with fixed random seeds.
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
    add_test(NAME ${name} COMMAND ${name} --rng-seed 1
             WORKING_DIRECTORY "${CMAKE_SOURCE_DIR}")
    set_tests_properties(${name} PROPERTIES ENVIRONMENT
                                            "RC_PARAMS=seed=20261204")
endfunction()

# Declares the program NAME, built from apps/NAME/main.cpp.
function(plantaintally_app name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
    add_executable(${name} ${name}/main.cpp)
    target_link_libraries(${name} PRIVATE plantaintally_options ${ARG_DEPENDS}
                                          ${ARG_LIBRARIES})
endfunction()
