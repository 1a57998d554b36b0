#include "label.h"

#include <sodium.h>
#include <string.h>

enum { HASH_BYTES = TLB_LABEL_HASH_LEN / 2 };

/* Length of the longest beginning of up to max bytes that does not end inside a UTF-8 character. */
static size_t whole_characters_len(const char *text, size_t max)
{
	while (max > 0 && ((unsigned char)text[max] & 0xc0) == 0x80)
		max--;
	return max;
}

/* A label of a long name fills the buffer, which a short name never does. */
char *tlb_label_fit(char *out, size_t size, const char *name)
{
	size_t len = strlen(name);
	size_t hash_at = size - 1 - TLB_LABEL_HASH_LEN;
	unsigned char hash[HASH_BYTES];

	if (len <= size - 2) {
		memcpy(out, name, len + 1);
		return out;
	}
	memset(out, '.', hash_at);
	memcpy(out, name, whole_characters_len(name, hash_at - 1));
	crypto_generichash(hash, sizeof(hash), (const unsigned char *)name, len, NULL, 0);
	sodium_bin2hex(out + hash_at, TLB_LABEL_HASH_LEN + 1, hash, sizeof(hash));
	return out;
}

char *tlb_label_set(char out[TLB_LABEL_LEN], const char *name)
{
	return tlb_label_fit(out, TLB_LABEL_LEN, name);
}
