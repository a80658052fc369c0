/* Fault injection for the program in the soak test: wrappers of system calls that fail in the ways
 * that Linux documents. The library is loaded before the C library (LD_PRELOAD).
 *
 * The following faults occur at random, and FAULT_SEED is the seed of the random choices. Waits are
 * interrupted. accept, socket and connect fail. Reads and writes on sockets are short. Connections
 * that the program opened break with ETIMEDOUT or EHOSTUNREACH.
 *
 * CLOCK_STEP_S is the number of seconds by which the wall clock is stepped. CLOCK_STEP_AFTER_MS is
 * the time of the step in ms after the start. The monotonic clock is not changed. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_DESCRIPTORS 4096
/* The C library's own function of this name. */
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static uint64_t random_state;
/* Whether a descriptor is a connection that the program opened itself, by descriptor. */
static unsigned char is_outgoing[MAX_DESCRIPTORS];
/* Size of the wall clock step, and its time on the monotonic clock. */
static int64_t clock_step_s, clock_step_at_ms;

static int64_t monotonic_ms(void) {
    static __typeof__(&clock_gettime) real;
    if (!real)
        real = REAL(clock_gettime);
    struct timespec now;
    real(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

__attribute__((constructor)) static void read_settings(void) {
    const char *seed_text = getenv("FAULT_SEED"), *step_text = getenv("CLOCK_STEP_S"),
               *delay_text = getenv("CLOCK_STEP_AFTER_MS");
    random_state = seed_text ? strtoull(seed_text, NULL, 10) * 2 + 1 : 1;
    clock_step_s = step_text ? strtoll(step_text, NULL, 10) : 0;
    clock_step_at_ms = monotonic_ms() + (delay_text ? strtoll(delay_text, NULL, 10) : 0);
}

/* Returns 1 with a probability of one in `chances` (xorshift generator). */
static int happens_one_in(unsigned chances) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state % chances == 0;
}

/* Sets errno and returns the result of a failed system call. */
static int fail_with(int error) {
    errno = error;
    return -1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static __typeof__(&accept4) real;
    if (!real)
        real = REAL(accept4);
    if (happens_one_in(20))
        return fail_with(happens_one_in(2) ? ECONNABORTED : ENFILE);
    int accepted = real(fd, address, length, flags);
    if (accepted >= 0 && accepted < MAX_DESCRIPTORS)
        is_outgoing[accepted] = 0;
    return accepted;
}

/* Fails only after the time of the clock step. */
int socket(int domain, int type, int protocol) {
    static __typeof__(&socket) real;
    if (!real)
        real = REAL(socket);
    if (monotonic_ms() > clock_step_at_ms && happens_one_in(30))
        return fail_with(happens_one_in(2) ? ENOBUFS : ENFILE);
    int fd = real(domain, type, protocol);
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        is_outgoing[fd] = 0;
    return fd;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static __typeof__(&connect) real;
    if (!real)
        real = REAL(connect);
    if (happens_one_in(30))
        return fail_with(happens_one_in(2) ? EADDRNOTAVAIL : ENETUNREACH);
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        is_outgoing[fd] = 1;
    return real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    static __typeof__(&epoll_wait) real;
    if (!real)
        real = REAL(epoll_wait);
    if (happens_one_in(20))
        return fail_with(EINTR);
    return real(fd, events, max_events, timeout);
}

/* Breaks a connection that the program opened, with a probability of one in 400. Its peer sees the
 * end of the connection. Returns 1 and sets errno if the connection is broken. */
static int break_connection(int fd) {
    if (fd < 0 || fd >= MAX_DESCRIPTORS || !is_outgoing[fd] || !happens_one_in(400))
        return 0;
    shutdown(fd, SHUT_RDWR);
    errno = happens_one_in(2) ? ETIMEDOUT : EHOSTUNREACH;
    return 1;
}

/* Reads of pipes, event counters and files. Sockets are read with recv. */
ssize_t read(int fd, void *bytes, size_t length) {
    static __typeof__(&read) real;
    if (!real)
        real = REAL(read);
    if (happens_one_in(10))
        return fail_with(EINTR);
    return real(fd, bytes, length);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    static __typeof__(&recv) real;
    if (!real)
        real = REAL(recv);
    if (break_connection(fd))
        return -1;
    if (happens_one_in(30))
        return fail_with(EINTR);
    return real(fd, bytes, length > 1 && happens_one_in(4) ? 1 + length / 7 % 64 : length, flags);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    static __typeof__(&send) real;
    if (!real)
        real = REAL(send);
    if (break_connection(fd))
        return -1;
    return real(fd, bytes, length > 1 && happens_one_in(4) ? length / 2 : length, flags);
}

ssize_t writev(int fd, const struct iovec *chunks, int count) {
    static __typeof__(&writev) real;
    if (!real)
        real = REAL(writev);
    if (break_connection(fd))
        return -1;
    if (count > 0 && happens_one_in(4)) {
        struct iovec first = chunks[0];
        if (first.iov_len > 1)
            first.iov_len /= 2;
        return real(fd, &first, 1);
    }
    return real(fd, chunks, count);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    if (!real)
        real = REAL(clock_gettime);
    int result = real(clock, now);
    if (clock == CLOCK_REALTIME && result == 0 && clock_step_s && monotonic_ms() >= clock_step_at_ms)
        now->tv_sec += clock_step_s;
    return result;
}
