/* Preloaded into a program under test: makes system calls fail at random in ways that Linux documents, and offsets the
 * wall clock.
 *
 * FAULTS_CONTROL names a file of 64 bytes that the test writes and this library maps: the offset of the wall clock in
 * microseconds, then a rate for each kind of fault (0 never, 2^32 - 1 always). FAULTS_SEED seeds the random numbers.
 *
 *   accept4             ACCEPT: ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR
 *   socket              SOCKET: EMFILE, ENFILE, ENOBUFS, ENOMEM
 *   connect             CONNECT: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR
 *   epoll_wait, poll    INTERRUPT_POLL: EINTR
 *   recv, send on TCP   INTERRUPT_TCP: EINTR; SHORT_TRANSFER: one byte is transferred
 *     ... connected     BREAK_CONNECTION: the connection ends for both sides, with ECONNRESET, ETIMEDOUT, EHOSTUNREACH
 *                       or EPIPE;
 *                       DELAY_READ: recv returns its data 20 ms late
 *     ... accepted      ACCEPTED_PEEK, ACCEPTED_READ, ACCEPTED_WRITE: ETIMEDOUT, EHOSTUNREACH, ENETDOWN or ENETUNREACH
 *                       for this call only; the connection stays open
 *   recv, send, read, write on anything else
 *                       INTERRUPT_NON_TCP: EINTR
 *   pthread_create      CREATE_THREAD: EAGAIN
 */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* The order is that of the rates in the control file, and of FaultKind in src/lib.rs. */
enum fault {
    ACCEPT,
    SOCKET,
    CONNECT,
    INTERRUPT_POLL,
    SHORT_TRANSFER,
    BREAK_CONNECTION,
    CREATE_THREAD,
    INTERRUPT_TCP,
    ACCEPTED_PEEK,
    ACCEPTED_READ,
    ACCEPTED_WRITE,
    INTERRUPT_NON_TCP,
    DELAY_READ,
    FAULT_KINDS
};

struct control {
    _Atomic int64_t wall_offset_us;
    _Atomic uint32_t rate[FAULT_KINDS];
};

/* The same as in src/lib.rs. */
#define CONTROL_BYTES 64
#define MAX_DESCRIPTORS 4096
/* The same as READ_DELAY in src/lib.rs. */
#define READ_DELAY_US 20000

/* NULL if there is no control file: no call fails then. */
static struct control *control;
static _Atomic uint64_t random_state = 0x9e3779b97f4a7c15u;
/* How a descriptor was created. Descriptors from MAX_DESCRIPTORS on count as OTHER. */
enum origin { OTHER, ACCEPTED, CONNECTED };
static _Atomic uint8_t origins[MAX_DESCRIPTORS];

static enum origin origin_of(int file) {
    return file >= 0 && file < MAX_DESCRIPTORS ? atomic_load(&origins[file]) : OTHER;
}

static void set_origin(int file, enum origin origin) {
    if (file >= 0 && file < MAX_DESCRIPTORS) atomic_store(&origins[file], origin);
}

/* The SplitMix64 generator. */
static uint64_t next_random(void) {
    uint64_t x = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

/* Decides at random whether this kind of fault affects the current call. */
static int should_fail(enum fault fault) {
    return control != NULL && (uint32_t)next_random() < atomic_load(&control->rate[fault]);
}

/* Sets errno to one of these errors, chosen at random; returns -1. */
static int fail_with(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}
#define FAIL_WITH(...) fail_with((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

/* Declares `real`, the function that this library replaces. */
#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void map_control_file(void) {
    const char *path = getenv("FAULTS_CONTROL"), *seed = getenv("FAULTS_SEED");
    if (seed != NULL) atomic_store(&random_state, strtoull(seed, NULL, 10) * 0x2545f4914f6cdd1du + 1);
    if (path == NULL) return;
    int file = open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) return;
    void *mapped = mmap(NULL, CONTROL_BYTES, PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED) control = mapped;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && control != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t us = (int64_t)time->tv_sec * 1000000 + time->tv_nsec / 1000 + atomic_load(&control->wall_offset_us);
        time->tv_sec = us / 1000000;
        time->tv_nsec = us % 1000000 * 1000 + time->tv_nsec % 1000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    (void)zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}

int accept4(int listener, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    REAL(accept4);
    if (should_fail(ACCEPT)) return FAIL_WITH(ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR);
    int file = real(listener, address, length, flags);
    set_origin(file, ACCEPTED);
    return file;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (should_fail(SOCKET)) return FAIL_WITH(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return real(domain, type, protocol);
}

int connect(int file, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (should_fail(CONNECT)) return FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR);
    set_origin(file, CONNECTED);
    return real(file, address, length);
}

int close(int file) {
    REAL(close);
    set_origin(file, OTHER);
    return real(file);
}

int epoll_wait(int file, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    if (should_fail(INTERRUPT_POLL)) return FAIL_WITH(EINTR);
    return real(file, events, max_events, timeout);
}

int poll(struct pollfd *files, nfds_t count, int timeout) {
    REAL(poll);
    if (should_fail(INTERRUPT_POLL)) return FAIL_WITH(EINTR);
    return real(files, count, timeout);
}

/* Breaks the connection for both sides if the fault occurs; returns whether it did. */
static int breaks_connection(int file) {
    if (origin_of(file) != CONNECTED || !should_fail(BREAK_CONNECTION)) return 0;
    shutdown(file, SHUT_RDWR);
    return 1;
}

ssize_t recv(int file, void *buffer, size_t length, int flags) {
    REAL(recv);
    enum origin origin = origin_of(file);
    if (origin == OTHER) {
        if (should_fail(INTERRUPT_NON_TCP)) return FAIL_WITH(EINTR);
        return real(file, buffer, length, flags);
    }
    if (should_fail(INTERRUPT_TCP)) return FAIL_WITH(EINTR);
    if (origin == ACCEPTED && should_fail(flags & MSG_PEEK ? ACCEPTED_PEEK : ACCEPTED_READ))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ENETDOWN, ENETUNREACH);
    if (!(flags & MSG_PEEK) && breaks_connection(file)) return FAIL_WITH(ECONNRESET, ETIMEDOUT, EHOSTUNREACH);
    if (length > 1 && should_fail(SHORT_TRANSFER)) length = 1;
    ssize_t result = real(file, buffer, length, flags);
    if (result > 0 && origin == CONNECTED && !(flags & MSG_PEEK) && should_fail(DELAY_READ)) usleep(READ_DELAY_US);
    return result;
}

ssize_t send(int file, const void *buffer, size_t length, int flags) {
    REAL(send);
    enum origin origin = origin_of(file);
    if (origin == OTHER) {
        if (should_fail(INTERRUPT_NON_TCP)) return FAIL_WITH(EINTR);
        return real(file, buffer, length, flags);
    }
    if (should_fail(INTERRUPT_TCP)) return FAIL_WITH(EINTR);
    if (origin == ACCEPTED && should_fail(ACCEPTED_WRITE))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ENETDOWN, ENETUNREACH);
    if (breaks_connection(file)) return FAIL_WITH(EPIPE, ECONNRESET, ETIMEDOUT, EHOSTUNREACH);
    if (length > 1 && should_fail(SHORT_TRANSFER)) length = 1;
    return real(file, buffer, length, flags);
}

ssize_t read(int file, void *buffer, size_t length) {
    REAL(read);
    if (origin_of(file) == OTHER && should_fail(INTERRUPT_NON_TCP)) return FAIL_WITH(EINTR);
    return real(file, buffer, length);
}

ssize_t write(int file, const void *buffer, size_t length) {
    REAL(write);
    if (origin_of(file) == OTHER && should_fail(INTERRUPT_NON_TCP)) return FAIL_WITH(EINTR);
    return real(file, buffer, length);
}

int pthread_create(pthread_t *restrict thread, const pthread_attr_t *restrict attributes, void *(*run)(void *),
                   void *restrict argument) {
    REAL(pthread_create);
    if (should_fail(CREATE_THREAD)) return EAGAIN;
    return real(thread, attributes, run, argument);
}
