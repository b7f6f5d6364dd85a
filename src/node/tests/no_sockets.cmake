# Fails if the test program of the reducer uses a socket: the decisions must do
# no I/O. Run as: cmake -DNM=nm -DPROGRAM=... -P no_sockets.cmake
execute_process(
    COMMAND "${NM}" --undefined-only "${PROGRAM}"
    OUTPUT_VARIABLE symbols
    RESULT_VARIABLE status)
if(NOT status EQUAL 0 OR symbols STREQUAL "")
    message(FATAL_ERROR "the symbols of ${PROGRAM} can't be read")
endif()
set(calls "socket|connect|accept|accept4|bind|listen|sendto|recvfrom|sendmsg"
          "recvmsg|epoll_create1|epoll_wait|poll|getaddrinfo")
list(JOIN calls "|" pattern)
string(REGEX MATCH " U (${pattern})(@|\n)" used "${symbols}")
if(used)
    message(FATAL_ERROR "the reducer uses a socket call:${used}")
endif()
