# Finds the third-party libraries and defines the common compiler options.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(mimalloc CONFIG REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
if(PLANTAINTALLY_TESTS)
    find_package(Catch2 2 REQUIRED)
    find_package(nng CONFIG REQUIRED)
    find_package(rapidcheck CONFIG REQUIRED)
endif()

add_library(plantaintally_options INTERFACE)
target_compile_options(
    plantaintally_options
    # The disabled warnings are false positives of g++ 12 in std::string and
    # std::variant.
    INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
              -Wno-restrict -Wno-maybe-uninitialized)
target_compile_definitions(
    plantaintally_options
    INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_SEPARATE_COMPILATION
              BOOST_BEAST_SEPARATE_COMPILATION SPDLOG_FMT_EXTERNAL
              SPDLOG_COMPILED_LIB)
target_include_directories(plantaintally_options
                           INTERFACE "${CMAKE_SOURCE_DIR}/src" "${CMAKE_SOURCE_DIR}")
