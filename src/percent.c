#include "percent.h"

#include <string.h>

bool tlb_percent_encode(const char *text, char *out, size_t size)
{
	static const char plain[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
	static const char hex[] = "0123456789ABCDEF";
	size_t n = 0;

	for (; *text && n + 3 < size; text++) {
		if (strchr(plain, *text)) {
			out[n++] = *text;
			continue;
		}
		out[n++] = '%';
		out[n++] = hex[(unsigned char)*text >> 4];
		out[n++] = hex[(unsigned char)*text & 15];
	}
	out[*text ? 0 : n] = '\0';
	return !*text;
}
