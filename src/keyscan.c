#include "keyscan.h"

#include <ctype.h>
#include <sodium.h>
#include <string.h>

static bool is_word_char(unsigned char c)
{
	return isalnum(c) || c == '_' || c == '-' || c == '.' || c == '~';
}

static bool is_known_key(const struct tlb_table *t, const char *word, size_t len)
{
	unsigned char hash[TLB_KEY_HASH_LEN];

	if (len < TLB_KEY_MIN_BYTES || len > TLB_KEY_MAX_BYTES)
		return false;
	crypto_hash_sha256(hash, (const unsigned char *)word, len);
	return tlb_table_find_key(t, hash) != NULL;
}

static bool looks_generated(const char *word, size_t len)
{
	return len >= sizeof(TLB_KEY_PREFIX) - 1 &&
	       memcmp(word, TLB_KEY_PREFIX, sizeof(TLB_KEY_PREFIX) - 1) == 0;
}

static bool scan_words(const struct tlb_table *t, const char *data, size_t len,
		       size_t full_scan_len)
{
	size_t begin = 0;
	size_t end;

	while (begin < len) {
		if (!is_word_char((unsigned char)data[begin])) {
			begin++;
			continue;
		}
		end = begin;
		while (end < len && is_word_char((unsigned char)data[end]))
			end++;
		if ((end <= full_scan_len || looks_generated(data + begin, end - begin)) &&
		    is_known_key(t, data + begin, end - begin))
			return true;
		begin = end;
	}
	return false;
}

bool tlb_keyscan_contains_key(const struct tlb_table *t, const char *presented, const char *data,
			      size_t len)
{
	if (!data || len == 0)
		return false;
	if (presented[0] && memmem(data, len, presented, strlen(presented)))
		return true;
	return scan_words(t, data, len, presented[0] ? 0 : TLB_KEYSCAN_FULL_SCAN_BYTES);
}
