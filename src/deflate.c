#include "deflate.h"

#include <stdlib.h>
#include <zlib.h>

unsigned char *tlb_deflate(const void *data, size_t len, size_t *out_len)
{
	uLongf size = compressBound(len);
	unsigned char *out = malloc(size);
	unsigned char *fitted;

	if (!out)
		return NULL;
	if (compress2(out, &size, data, len, Z_BEST_SPEED) != Z_OK || size >= len) {
		free(out);
		return NULL;
	}
	*out_len = size;
	fitted = realloc(out, size);
	if (fitted)
		out = fitted;
	return out;
}

unsigned char *tlb_inflate(const void *data, size_t len, size_t out_len)
{
	uLongf size = out_len;
	unsigned char *out = malloc(out_len);

	if (out && (uncompress(out, &size, data, len) != Z_OK || size != out_len)) {
		free(out);
		return NULL;
	}
	return out;
}
