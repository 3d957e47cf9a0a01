/* A library for tests, loaded with LD_PRELOAD: the wall clock is off by what a file says, and system calls fail as Linux
   documents. FAULT_CLOCK names a file that holds the offset in ns as 8 bytes; FAULTS is a list of call:errno:every, for
   socket, accept, connect, poll and broken, which is a read from a socket that the process has connected; "read" and
   "write" on sockets are cut to 3 bytes instead. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define SHORT_BYTES 3
#define NS_PER_S 1000000000LL

struct fault { const char *call; int error; int every; atomic_int calls; };
static struct fault faults[] = {{"socket", 0, 0, 0}, {"accept", 0, 0, 0}, {"connect", 0, 0, 0},
                                {"poll", 0, 0, 0},   {"read", 0, 0, 0},   {"write", 0, 0, 0},
                                {"broken", 0, 0, 0}};
enum { SOCKET, ACCEPT, CONNECT, POLL, READ, WRITE, BROKEN };

#define MAX_FD 4096
/* Whether this process has connected the socket: only those break, as clients' connections are the clients' affair. */
static atomic_char connected[MAX_FD];
static volatile int64_t *offset;

__attribute__((constructor)) static void configure(void) {
    const char *list = getenv("FAULTS");
    for (int i = SOCKET; list && i <= BROKEN; i++) {
        char wanted[32];
        snprintf(wanted, sizeof wanted, "%s:", faults[i].call);
        const char *at = strstr(list, wanted);
        if (at) sscanf(at + strlen(wanted), "%d:%d", &faults[i].error, &faults[i].every);
    }
    const char *file = getenv("FAULT_CLOCK");
    int fd = file ? open(file, O_RDONLY) : -1;
    if (fd >= 0) {
        void *map = mmap(0, sizeof *offset, PROT_READ, MAP_SHARED, fd, 0);
        if (map != MAP_FAILED) offset = map;
        close(fd);
    }
}

/* Every n-th call fails, the first one among them. */
static int fails(int call) {
    struct fault *f = &faults[call];
    if (!f->every || atomic_fetch_add(&f->calls, 1) % f->every) return 0;
    errno = f->error;
    return 1;
}

static int is_socket(int fd) {
    struct stat s;
    return !fstat(fd, &s) && S_ISSOCK(s.st_mode);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && fails(SOCKET)) return -1;
    int fd = (int)syscall(SYS_socket, domain, type, protocol);
    if (fd >= 0 && fd < MAX_FD) connected[fd] = 0;
    return fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    if (fails(ACCEPT)) return -1;
    int client = (int)syscall(SYS_accept4, fd, address, length, 0);
    if (client >= 0 && client < MAX_FD) connected[client] = 0;
    return client;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (fails(CONNECT)) return -1;
    if (fd < MAX_FD) connected[fd] = 1;
    return (int)syscall(SYS_connect, fd, address, length);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    static int (*real)(struct pollfd *, nfds_t, int);
    if (!real) *(void **)&real = dlsym(RTLD_NEXT, "poll");
    if (timeout && fails(POLL)) return -1;
    return real(fds, count, timeout);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    static int (*real)(int, struct epoll_event *, int, int);
    if (!real) *(void **)&real = dlsym(RTLD_NEXT, "epoll_wait");
    if (timeout && fails(POLL)) return -1;
    return real(fd, events, count, timeout);
}

ssize_t read(int fd, void *buffer, size_t count) {
    if (faults[BROKEN].every && fd < MAX_FD && connected[fd] && is_socket(fd) && fails(BROKEN)) return -1;
    if (faults[READ].every && count > SHORT_BYTES && is_socket(fd) && fails(READ)) count = SHORT_BYTES;
    return syscall(SYS_read, fd, buffer, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    if (faults[WRITE].every && count > SHORT_BYTES && is_socket(fd) && fails(WRITE)) count = SHORT_BYTES;
    return syscall(SYS_write, fd, buffer, count);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = (int)syscall(SYS_clock_gettime, clock, time);
    if (!result && offset && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = time->tv_sec * NS_PER_S + time->tv_nsec + *offset;
        time->tv_sec = ns / NS_PER_S;
        time->tv_nsec = ns % NS_PER_S;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec time;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &time);
    now->tv_sec = time.tv_sec;
    now->tv_usec = time.tv_nsec / 1000;
    return 0;
}
