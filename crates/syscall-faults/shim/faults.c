/* Preloaded into a program under test: makes documented system calls fail at random, and steps its wall clock.
 *
 * FAULTS_CONTROL names a file of 64 bytes that the test writes and this library maps: the offset of the wall clock in
 * microseconds, then a rate for each kind of fault (0 never, 2^32 - 1 always). FAULTS_SEED seeds the random numbers.
 *
 *   accept4             ACCEPT: ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR
 *   socket              SOCKET: EMFILE, ENFILE, ENOBUFS, ENOMEM
 *   connect             CONNECT: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR
 *   epoll_wait, poll    WAIT: EINTR
 *   recv, send on TCP   INTERRUPT_TCP: EINTR; SHORT: one byte is transferred
 *     ... connected     BREAK: the connection ends for both sides, with ECONNRESET, ETIMEDOUT, EHOSTUNREACH or EPIPE;
 *                       DELAY_READ: recv returns its data 20 ms late
 *     ... accepted      ACCEPTED_PEEK, ACCEPTED_READ, ACCEPTED_WRITE: ETIMEDOUT, EHOSTUNREACH, ENETDOWN or ENETUNREACH,
 *                       told once, while the connection stays open
 *   recv, send, read, write on anything else
 *                       INTERRUPT_NON_TCP: EINTR
 *   pthread_create      THREAD: EAGAIN
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

enum fault {
    ACCEPT,
    SOCKET,
    CONNECT,
    WAIT,
    SHORT,
    BREAK,
    THREAD,
    INTERRUPT_TCP,
    ACCEPTED_PEEK,
    ACCEPTED_READ,
    ACCEPTED_WRITE,
    INTERRUPT_NON_TCP,
    DELAY_READ,
    FAULTS
};

struct control {
    _Atomic int64_t wall_offset_us;
    _Atomic uint32_t rate[FAULTS];
};

#define CONTROL_BYTES 64
#define MOST_DESCRIPTORS 4096
#define READ_DELAY_US 20000

static struct control *control;
static _Atomic uint64_t chance = 0x9e3779b97f4a7c15u;
enum origin { OTHER, ACCEPTED, CONNECTED };
static _Atomic uint8_t origins[MOST_DESCRIPTORS];

static enum origin origin_of(int file) {
    return file >= 0 && file < MOST_DESCRIPTORS ? atomic_load(&origins[file]) : OTHER;
}

static void set_origin(int file, enum origin origin) {
    if (file >= 0 && file < MOST_DESCRIPTORS) atomic_store(&origins[file], origin);
}

static uint64_t next_chance(void) {
    uint64_t x = atomic_fetch_add(&chance, 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

static int happens(enum fault fault) {
    return control != NULL && (uint32_t)next_chance() < atomic_load(&control->rate[fault]);
}

static int fails(const int *errors, size_t count) {
    errno = errors[next_chance() % count];
    return -1;
}
#define FAILS(...) fails((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAULTS_CONTROL"), *seed = getenv("FAULTS_SEED");
    if (seed != NULL) atomic_store(&chance, strtoull(seed, NULL, 10) * 0x2545f4914f6cdd1du + 1);
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
    if (happens(ACCEPT)) return FAILS(ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR);
    int file = real(listener, address, length, flags);
    set_origin(file, ACCEPTED);
    return file;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (happens(SOCKET)) return FAILS(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return real(domain, type, protocol);
}

int connect(int file, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (happens(CONNECT)) return FAILS(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR);
    set_origin(file, CONNECTED);
    return real(file, address, length);
}

int close(int file) {
    REAL(close);
    set_origin(file, OTHER);
    return real(file);
}

int epoll_wait(int file, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    if (happens(WAIT)) return FAILS(EINTR);
    return real(file, events, most, timeout);
}

int poll(struct pollfd *files, nfds_t count, int timeout) {
    REAL(poll);
    if (happens(WAIT)) return FAILS(EINTR);
    return real(files, count, timeout);
}

/* Whether the connection breaks here; then it is broken for both sides. */
static int breaks(int file) {
    if (origin_of(file) != CONNECTED || !happens(BREAK)) return 0;
    shutdown(file, SHUT_RDWR);
    return 1;
}

ssize_t recv(int file, void *buffer, size_t length, int flags) {
    REAL(recv);
    enum origin origin = origin_of(file);
    if (origin == OTHER) {
        if (happens(INTERRUPT_NON_TCP)) return FAILS(EINTR);
        return real(file, buffer, length, flags);
    }
    if (happens(INTERRUPT_TCP)) return FAILS(EINTR);
    if (origin == ACCEPTED && happens(flags & MSG_PEEK ? ACCEPTED_PEEK : ACCEPTED_READ))
        return FAILS(ETIMEDOUT, EHOSTUNREACH, ENETDOWN, ENETUNREACH);
    if (!(flags & MSG_PEEK) && breaks(file)) return FAILS(ECONNRESET, ETIMEDOUT, EHOSTUNREACH);
    if (length > 1 && happens(SHORT)) length = 1;
    ssize_t result = real(file, buffer, length, flags);
    if (result > 0 && origin == CONNECTED && !(flags & MSG_PEEK) && happens(DELAY_READ)) usleep(READ_DELAY_US);
    return result;
}

ssize_t send(int file, const void *buffer, size_t length, int flags) {
    REAL(send);
    enum origin origin = origin_of(file);
    if (origin == OTHER) {
        if (happens(INTERRUPT_NON_TCP)) return FAILS(EINTR);
        return real(file, buffer, length, flags);
    }
    if (happens(INTERRUPT_TCP)) return FAILS(EINTR);
    if (origin == ACCEPTED && happens(ACCEPTED_WRITE)) return FAILS(ETIMEDOUT, EHOSTUNREACH, ENETDOWN, ENETUNREACH);
    if (breaks(file)) return FAILS(EPIPE, ECONNRESET, ETIMEDOUT, EHOSTUNREACH);
    if (length > 1 && happens(SHORT)) length = 1;
    return real(file, buffer, length, flags);
}

ssize_t read(int file, void *buffer, size_t length) {
    REAL(read);
    if (origin_of(file) == OTHER && happens(INTERRUPT_NON_TCP)) return FAILS(EINTR);
    return real(file, buffer, length);
}

ssize_t write(int file, const void *buffer, size_t length) {
    REAL(write);
    if (origin_of(file) == OTHER && happens(INTERRUPT_NON_TCP)) return FAILS(EINTR);
    return real(file, buffer, length);
}

int pthread_create(pthread_t *restrict thread, const pthread_attr_t *restrict attributes, void *(*run)(void *),
                   void *restrict argument) {
    REAL(pthread_create);
    if (happens(THREAD)) return EAGAIN;
    return real(thread, attributes, run, argument);
}
