# Helpers that give every package of the workspace the same compiler settings.

option(CASSIARELAY_SANITIZE "Sanitizers to build with: address,undefined or thread" "")

function(cassiarelay_compile_options name)
    target_compile_features(${name} PUBLIC cxx_std_17)
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wshadow -Wpedantic -Werror)
    if(CASSIARELAY_SANITIZE)
        target_compile_options(${name} PUBLIC -fsanitize=${CASSIARELAY_SANITIZE} -fno-omit-frame-pointer -g)
        target_link_options(${name} PUBLIC -fsanitize=${CASSIARELAY_SANITIZE})
    endif()
endfunction()

# cassiarelay_add_library(NAME SOURCES ... DEPENDS ...)
function(cassiarelay_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
    cassiarelay_compile_options(${name})
endfunction()

# cassiarelay_add_executable(NAME SOURCES ... DEPENDS ...)
function(cassiarelay_add_executable name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
    cassiarelay_compile_options(${name})
endfunction()

# cassiarelay_add_test(NAME SOURCES ... DEPENDS ...): one Boost.Test program, run by CTest.
function(cassiarelay_add_test name)
    cassiarelay_add_executable(${name} ${ARGN})
    target_link_libraries(${name} PRIVATE Boost::unit_test_framework)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    add_test(NAME ${name} COMMAND ${name})
endfunction()
