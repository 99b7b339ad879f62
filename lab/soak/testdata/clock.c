/* Steps the wall clock of one process. Loaded with LD_PRELOAD, it patches clock_gettime in the process's vDSO to jump to a
 * function that adds the offset in a shared file (nanoseconds, int64) to CLOCK_REALTIME. The monotonic clock is unchanged. */
#define _GNU_SOURCE
#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static volatile int64_t *offset;

/* For each machine: the name of the vDSO's function, the system call, and the writing of a jump over the function's first bytes. */
#if defined(__x86_64__)
#define VDSO_NAME "__vdso_clock_gettime"

__attribute__((always_inline)) static inline long system_call(clockid_t id, struct timespec *ts) {
	long ret;
	__asm__ volatile("syscall" : "=a"(ret) : "a"((long)SYS_clock_gettime), "D"((long)id), "S"(ts) : "rcx", "r11", "memory");
	return ret;
}

static void write_jump(unsigned char *at, uint64_t to) {
	at[0] = 0x48, at[1] = 0xb8; /* mov rax, to */
	memcpy(at + 2, &to, 8);
	at[10] = 0xff, at[11] = 0xe0; /* jmp rax */
}
#elif defined(__aarch64__)
#define VDSO_NAME "__kernel_clock_gettime"

__attribute__((always_inline)) static inline long system_call(clockid_t id, struct timespec *ts) {
	register long number __asm__("x8") = SYS_clock_gettime;
	register long x0 __asm__("x0") = id;
	register struct timespec *x1 __asm__("x1") = ts;
	__asm__ volatile("svc #0" : "+r"(x0) : "r"(number), "r"(x1) : "memory");
	return x0;
}

static void write_jump(unsigned char *at, uint64_t to) {
	/* bti c; ldr x16 from 8 bytes on; br x16; the address */
	static const uint32_t code[3] = {0xd503245f, 0x58000050, 0xd61f0200};
	memcpy(at, code, 12);
	memcpy(at + 12, &to, 8);
	__builtin___clear_cache((char *)at, (char *)at + 20);
}
#else
#error "The clock of the soak can be stepped on x86-64 and arm64 only."
#endif

__attribute__((optimize("no-stack-protector"))) static long stepped(clockid_t id, struct timespec *ts) {
	long ret = system_call(id, ts);
	if (ret == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
		int64_t ns = (int64_t)ts->tv_sec * 1000000000 + ts->tv_nsec + *offset;
		ts->tv_sec = ns / 1000000000;
		ts->tv_nsec = ns % 1000000000;
	}
	return ret;
}

__attribute__((constructor)) static void install(void) {
	const char *path = getenv("SOAK_CLOCK");
	const unsigned char *base = (const unsigned char *)getauxval(AT_SYSINFO_EHDR);
	if (!path || !base)
		return;
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return;
	offset = mmap(0, 8, PROT_READ, MAP_SHARED, fd, 0);
	close(fd);
	if (offset == MAP_FAILED)
		return;
	const Elf64_Ehdr *eh = (const Elf64_Ehdr *)base;
	const Elf64_Phdr *ph = (const Elf64_Phdr *)(base + eh->e_phoff);
	const Elf64_Dyn *dyn = 0;
	uintptr_t load = 0;
	size_t end = 0;
	for (int i = 0; i < eh->e_phnum; i++) {
		if (ph[i].p_type == PT_LOAD) {
			load = (uintptr_t)base + ph[i].p_offset - ph[i].p_vaddr;
			end = ph[i].p_offset + ph[i].p_memsz;
		} else if (ph[i].p_type == PT_DYNAMIC)
			dyn = (const Elf64_Dyn *)(base + ph[i].p_offset);
	}
	const Elf64_Sym *syms = 0;
	const char *names = 0;
	for (; dyn && dyn->d_tag != DT_NULL; dyn++) {
		if (dyn->d_tag == DT_SYMTAB)
			syms = (const Elf64_Sym *)(load + dyn->d_un.d_ptr);
		if (dyn->d_tag == DT_STRTAB)
			names = (const char *)(load + dyn->d_un.d_ptr);
	}
	if (!syms || !names)
		return;
	long page = sysconf(_SC_PAGESIZE);
	size_t span = (end + page - 1) / page * page;
	if (mprotect((void *)base, span, PROT_READ | PROT_WRITE | PROT_EXEC) != 0)
		return;
	for (const Elf64_Sym *s = syms; (const char *)s < names; s++) {
		const char *name = names + s->st_name;
		if (strcmp(name, VDSO_NAME) && strcmp(name, "clock_gettime"))
			continue;
		write_jump((unsigned char *)(load + s->st_value), (uint64_t)(uintptr_t)stepped);
	}
	mprotect((void *)base, span, PROT_READ | PROT_EXEC);
}
