#include "percent.h"

#include <string.h>

bool tlb_percent_encode_bytes(const char *bytes, size_t len, char *out, size_t size)
{
	static const char plain[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
	static const char hex[] = "0123456789ABCDEF";
	size_t n = 0;
	size_t i;

	for (i = 0; i < len && n + 3 < size; i++) {
		if (bytes[i] && strchr(plain, bytes[i])) {
			out[n++] = bytes[i];
			continue;
		}
		out[n++] = '%';
		out[n++] = hex[(unsigned char)bytes[i] >> 4];
		out[n++] = hex[(unsigned char)bytes[i] & 15];
	}
	out[i < len ? 0 : n] = '\0';
	return i == len;
}

bool tlb_percent_encode(const char *text, char *out, size_t size)
{
	return tlb_percent_encode_bytes(text, strlen(text), out, size);
}
