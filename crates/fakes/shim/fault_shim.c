/*
 * A library for LD_PRELOAD that steps the wall clock of a process and fails calls of its C library.
 *
 * FAULT_SHIM_CONTROL  file of two 64-bit integers that the test changes while the process runs: the step of the wall
 *                     clock in ms, and whether calls fail.
 * FAULT_SHIM_CALLS    which calls fail, as CALL:ERROR:FIRST:PER_MILLE, separated by commas. ERROR is a number of errno,
 *                     or 0 for a read or write of a single byte. The first FIRST calls fail, and of the others
 *                     PER_MILLE in a thousand.
 * FAULT_SHIM_SEED     seed of the choice.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MAX_RULES 32
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000L
#define SHORT_TRANSFER 0
#define NO_FAULT (-1)

struct control {
    volatile int64_t wall_step_ms;
    volatile int64_t calls_fail;
};

struct rule {
    char call[16];
    int error;
    int first;
    int per_mille;
    atomic_int calls;
};

static struct control *control;
static struct rule rules[MAX_RULES];
static int rule_count;
static atomic_uint_least64_t random_state;

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void read_environment(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    if (path) {
        int fd = NEXT(open)(path, O_RDONLY | O_CLOEXEC);
        void *page = fd < 0 ? MAP_FAILED : mmap(NULL, sizeof *control, PROT_READ, MAP_SHARED, fd, 0);
        if (page != MAP_FAILED) control = page;
        if (fd >= 0) close(fd);
    }
    const char *seed = getenv("FAULT_SHIM_SEED");
    random_state = 0x9e3779b97f4a7c15ULL ^ (seed ? strtoull(seed, NULL, 10) : 0);
    char *list = strdup(getenv("FAULT_SHIM_CALLS") ? getenv("FAULT_SHIM_CALLS") : "");
    char *rest = NULL;
    for (char *entry = strtok_r(list, ",", &rest); entry && rule_count < MAX_RULES; entry = strtok_r(NULL, ",", &rest)) {
        struct rule *rule = &rules[rule_count];
        char *field = NULL;
        strncpy(rule->call, strtok_r(entry, ":", &field), sizeof rule->call - 1);
        rule->error = atoi(strtok_r(NULL, ":", &field));
        rule->first = atoi(strtok_r(NULL, ":", &field));
        rule->per_mille = atoi(strtok_r(NULL, ":", &field));
        rule_count++;
    }
    free(list);
}

/* xorshift64*, advanced atomically. */
static unsigned random_per_mille(void) {
    uint64_t old = random_state, new;
    do {
        new = old;
        new ^= new >> 12;
        new ^= new << 25;
        new ^= new >> 27;
    } while (!atomic_compare_exchange_weak(&random_state, &old, new));
    return (unsigned)((new * 0x2545f4914f6cdd1dULL >> 33) % 1000);
}

/* Returns the error that this call fails with, SHORT_TRANSFER, or NO_FAULT. */
static int fault_of(const char *call) {
    if (!control || !control->calls_fail) return NO_FAULT;
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (strcmp(rule->call, call) != 0) continue;
        int nth = atomic_fetch_add(&rule->calls, 1);
        if (nth < rule->first || random_per_mille() < (unsigned)rule->per_mille) return rule->error;
    }
    return NO_FAULT;
}

/* Fails the calling function with an error of its rules. */
#define FAIL_BY_RULE(name)                   \
    do {                                     \
        int error = fault_of(name);          \
        if (error > 0) {                     \
            errno = error;                   \
            return -1;                       \
        }                                    \
    } while (0)

/* The same for a transfer of bytes, which may be cut to one byte instead. */
#define FAIL_TRANSFER_BY_RULE(name, count)               \
    do {                                                 \
        int error = fault_of(name);                      \
        if (error > 0) {                                 \
            errno = error;                               \
            return -1;                                   \
        }                                                \
        if (error == SHORT_TRANSFER && count > 1) count = 1; \
    } while (0)

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*next)(clockid_t, struct timespec *);
    if (!next) next = NEXT(clock_gettime);
    int result = next(clock, time);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t step = control->wall_step_ms;
        time->tv_sec += step / MS_PER_S;
        time->tv_nsec += step % MS_PER_S * NS_PER_MS;
        if (time->tv_nsec < 0) time->tv_nsec += NS_PER_S, time->tv_sec--;
        if (time->tv_nsec >= NS_PER_S) time->tv_nsec -= NS_PER_S, time->tv_sec++;
    }
    return result;
}

int socket(int domain, int type, int protocol) {
    FAIL_BY_RULE("socket");
    return NEXT(socket)(domain, type, protocol);
}

int socketpair(int domain, int type, int protocol, int pair[2]) {
    FAIL_BY_RULE("socketpair");
    return NEXT(socketpair)(domain, type, protocol, pair);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_BY_RULE("bind");
    return NEXT(bind)(fd, address, length);
}

int listen(int fd, int backlog) {
    FAIL_BY_RULE("listen");
    return NEXT(listen)(fd, backlog);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_BY_RULE("connect");
    return NEXT(connect)(fd, address, length);
}

int setsockopt(int fd, int level, int option, const void *value, socklen_t length) {
    FAIL_BY_RULE("setsockopt");
    return NEXT(setsockopt)(fd, level, option, value, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    FAIL_BY_RULE("accept4");
    return NEXT(accept4)(fd, address, length, flags);
}

ssize_t recv(int fd, void *buffer, size_t count, int flags) {
    if (!(flags & MSG_PEEK)) FAIL_TRANSFER_BY_RULE("recv", count);
    return NEXT(recv)(fd, buffer, count, flags);
}

ssize_t send(int fd, const void *buffer, size_t count, int flags) {
    FAIL_TRANSFER_BY_RULE("send", count);
    return NEXT(send)(fd, buffer, count, flags);
}

/* Standard error, a file or a pipe of the log. */
ssize_t write(int fd, const void *buffer, size_t count) {
    if (fd == STDERR_FILENO) FAIL_TRANSFER_BY_RULE("log", count);
    return NEXT(write)(fd, buffer, count);
}

int open64(const char *path, int flags, ...) {
    FAIL_BY_RULE("open");
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return NEXT(open64)(path, flags, mode);
}
