/* Makes system calls of a process fail as Linux documents them, and shifts its wall clock. Loaded with LD_PRELOAD into
 * routers of the soak test only. SOAK_FAULTS names a file of five bytes, mapped shared: how many of 256 calls fail, for
 * accept, socket and connect, waits, reads, writes. SOAK_CLOCK is the offset of the wall clock in seconds. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, CONNECT, WAIT, READ, WRITE, KINDS };

static volatile unsigned char *rates;
static unsigned int state = 1;
static long clock_offset;

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("SOAK_FAULTS"), *offset = getenv("SOAK_CLOCK"), *seed = getenv("SOAK_SEED");
    if (offset) clock_offset = atol(offset);
    if (seed) state = (unsigned int)atol(seed) | 1;
    if (!path) return;
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) return;
    void *at = mmap(NULL, KINDS, PROT_READ, MAP_SHARED, fd, 0);
    if (at != MAP_FAILED) rates = at;
    close(fd);
}

static unsigned int draw(void) {
    state ^= state << 13;
    state ^= state >> 17;
    state ^= state << 5;
    return state;
}

static int fails(int kind) { return rates && (draw() & 255) < rates[kind]; }

static int fail(const int *errors, unsigned int count) {
    errno = errors[draw() % count];
    return -1;
}

static int is_socket(int fd) {
    struct stat info;
    return fstat(fd, &info) == 0 && S_ISSOCK(info.st_mode);
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR};
    if (fails(ACCEPT)) return fail(errors, 6);
    return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    if (domain == AF_INET && fails(CONNECT)) return fail(errors, 4);
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EINTR, EAGAIN};
    if (address->sa_family == AF_INET && fails(CONNECT)) return fail(errors, 4);
    return REAL(connect)(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (fails(WAIT)) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_wait)(fd, events, most, timeout);
}

static const int io_errors[] = {EINTR, ENOBUFS, ENOMEM};

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    if (fails(READ)) {
        if (draw() & 1) return fail(io_errors, 3);
        length = length > 1 ? 1 : length;
    }
    return REAL(recv)(fd, bytes, length, flags);
}

ssize_t read(int fd, void *bytes, size_t length) {
    if (rates && rates[READ] && is_socket(fd) && fails(READ)) {
        if (draw() & 1) return fail(io_errors, 3);
        length = length > 1 ? 1 : length;
    }
    return REAL(read)(fd, bytes, length);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    if (fails(WRITE)) {
        if (draw() & 1) return fail(io_errors, 3);
        length = length > 1 ? 1 : length;
    }
    return REAL(send)(fd, bytes, length, flags);
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    if (rates && rates[WRITE] && is_socket(fd) && fails(WRITE)) {
        if (draw() & 1) return fail(io_errors, 3);
        struct iovec first = pieces[0];
        if (first.iov_len > 1) first.iov_len = 1;
        return REAL(writev)(fd, &first, 1);
    }
    return REAL(writev)(fd, pieces, count);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = REAL(clock_gettime)(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) now->tv_sec += clock_offset;
    return result;
}
