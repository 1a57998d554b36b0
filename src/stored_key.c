#include "stored_key.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "utf8.h"

enum {
	SURROGATES_BEGIN = 0xD800,
	LOW_SURROGATES_BEGIN = 0xDC00,
	SURROGATES_END = 0xE000,
	NO_CHARACTER = -1,
	ESCAPE_LEN = 6, /* of a backslash, "u" and four digits */
};

/* --- characters --- */

static bool is_surrogate(int32_t c)
{
	return c >= SURROGATES_BEGIN && c < SURROGATES_END;
}

/* The first character whose encoding begins with a higher byte than lead, or NO_CHARACTER. */
static int32_t first_above_lead(unsigned char lead)
{
	if (lead < 0xC2)
		return 0x80;
	if (lead < 0xDF)
		return ((lead + 1) & 0x1F) << 6;
	if (lead == 0xDF)
		return 0x800;
	if (lead < 0xEF)
		return ((lead + 1) & 0x0F) << 12;
	if (lead == 0xEF)
		return 0x10000;
	return lead < 0xF4 ? ((lead + 1) & 0x07) << 18 : NO_CHARACTER;
}

/* --- keys --- */

bool tlb_stored_key_set(struct tlb_stored_key *k, const char *text)
{
	size_t len = strlen(text);
	bool fits = len <= TLB_STORED_KEY_MAX;

	k->len = fits ? len : 0;
	memcpy(k->text, text, k->len);
	return fits;
}

int tlb_stored_key_compare(const struct tlb_stored_key *a, const struct tlb_stored_key *b)
{
	size_t len = a->len < b->len ? a->len : b->len;
	int order = memcmp(a->text, b->text, len);

	if (order != 0)
		return order;
	return a->len == b->len ? 0 : a->len < b->len ? -1 : 1;
}

/* Appends a character. Returns false when it does not fit. */
static bool append(struct tlb_stored_key *k, int32_t c)
{
	unsigned char bytes[TLB_UTF8_BYTES_MAX];
	size_t len = tlb_utf8_encode(c, bytes);

	if (k->len + len > TLB_STORED_KEY_MAX)
		return false;
	memcpy(k->text + k->len, bytes, len);
	k->len += len;
	return true;
}

/* Removes the last character and returns it. */
static int32_t remove_last(struct tlb_stored_key *k)
{
	int32_t c = NO_CHARACTER;

	do
		k->len--;
	while (((unsigned char)k->text[k->len] & 0xC0) == 0x80);
	tlb_utf8_decode((const unsigned char *)k->text + k->len, TLB_STORED_KEY_MAX - k->len, &c);
	return c;
}

/* Replaces the key by the least one behind all that begin with it. Returns false without one. */
static bool skip_prefix(struct tlb_stored_key *k)
{
	int32_t c;

	while (k->len > 0) {
		c = remove_last(k) + 1;
		if (is_surrogate(c))
			c = SURROGATES_END;
		if (c <= TLB_UTF8_CHARACTER_MAX && append(k, c))
			return true;
	}
	return false;
}

/* Replaces the key by the least one behind it that no character of that first byte follows. */
static bool skip_lead(struct tlb_stored_key *k, unsigned char lead)
{
	int32_t c = first_above_lead(lead);

	return (c != NO_CHARACTER && append(k, c)) || skip_prefix(k);
}

/* --- JSON strings --- */

/* Reads the four digits of an escape, which begins with a backslash and "u". */
static bool read_unit(const char *p, size_t left, int32_t *unit)
{
	char digits[5] = "";
	char *end;

	if (left < ESCAPE_LEN || p[0] != '\\' || p[1] != 'u')
		return false;
	memcpy(digits, p + 2, 4);
	*unit = (int32_t)strtol(digits, &end, 16);
	return *end == '\0' && digits[0] != '-' && digits[0] != '+' && digits[0] != ' ';
}

/* Reads an escape sequence; an unpaired surrogate is returned as it is. Returns its length, or 0
 * when it is none. */
static size_t read_escape(const char *p, size_t left, int32_t *c)
{
	static const char names[] = "\"\\/bfnrt";
	static const char characters[] = "\"\\/\b\f\n\r\t";
	const char *name = left > 1 && p[1] ? strchr(names, p[1]) : NULL;
	int32_t low;

	if (name) {
		*c = (unsigned char)characters[name - names];
		return 2;
	}
	if (!read_unit(p, left, c))
		return 0;
	if (*c < SURROGATES_BEGIN || *c >= LOW_SURROGATES_BEGIN ||
	    !read_unit(p + ESCAPE_LEN, left - ESCAPE_LEN, &low) || low < LOW_SURROGATES_BEGIN ||
	    low >= SURROGATES_END)
		return ESCAPE_LEN;
	*c = 0x10000 + ((*c - SURROGATES_BEGIN) << 10) + (low - LOW_SURROGATES_BEGIN);
	return 2 * ESCAPE_LEN;
}

bool tlb_stored_key_after(const char *string, size_t len, struct tlb_stored_key *next)
{
	static const unsigned char surrogate_lead = 0xED;
	const char *end = string + len;
	size_t left;
	size_t n;
	int32_t c;

	next->len = 0;
	for (; string < end; string += n) {
		left = (size_t)(end - string);
		n = *string == '\\' ? read_escape(string, left, &c)
				    : tlb_utf8_decode((const unsigned char *)string, left, &c);
		if (n == 0 && *string == '\\')
			break;
		if (n == 0)
			return skip_lead(next, (unsigned char)*string);
		if (is_surrogate(c))
			return skip_lead(next, surrogate_lead);
		if (!append(next, c))
			return skip_prefix(next);
	}
	return append(next, 0) || skip_prefix(next);
}
