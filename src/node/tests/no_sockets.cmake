# Fails if the reducer's test program uses a socket call, since the reducer must
# not perform I/O. Usage: cmake -DNM=nm -DPROGRAM=... -P no_sockets.cmake
execute_process(
    COMMAND "${NM}" --undefined-only "${PROGRAM}"
    OUTPUT_VARIABLE symbols
    RESULT_VARIABLE status)
if(NOT status EQUAL 0 OR symbols STREQUAL "")
    message(FATAL_ERROR "cannot read the symbols of ${PROGRAM}")
endif()
set(calls "socket|connect|accept|accept4|bind|listen|sendto|recvfrom|sendmsg"
          "recvmsg|epoll_create1|epoll_wait|poll|getaddrinfo")
list(JOIN calls "|" pattern)
string(REGEX MATCH " U (${pattern})(@|\n)" used "${symbols}")
if(used)
    message(FATAL_ERROR "the reducer uses a socket call:${used}")
endif()
