#include "utf8.h"

#include <string.h>

size_t tlb_utf8_encode(int32_t c, unsigned char *out)
{
	if (c < 0x80) {
		out[0] = (unsigned char)c;
		return 1;
	}
	if (c < 0x800) {
		out[0] = (unsigned char)(0xC0 | c >> 6);
		out[1] = (unsigned char)(0x80 | (c & 0x3F));
		return 2;
	}
	if (c < 0x10000) {
		out[0] = (unsigned char)(0xE0 | c >> 12);
		out[1] = (unsigned char)(0x80 | (c >> 6 & 0x3F));
		out[2] = (unsigned char)(0x80 | (c & 0x3F));
		return 3;
	}
	out[0] = (unsigned char)(0xF0 | c >> 18);
	out[1] = (unsigned char)(0x80 | (c >> 12 & 0x3F));
	out[2] = (unsigned char)(0x80 | (c >> 6 & 0x3F));
	out[3] = (unsigned char)(0x80 | (c & 0x3F));
	return 4;
}

/* Length of the character that begins with a byte, as far as the byte tells; 0: none does. */
static size_t length_by_lead(unsigned char lead)
{
	if (lead < 0x80)
		return 1;
	if (lead < 0xC2 || lead > 0xF4)
		return 0;
	return lead < 0xE0 ? 2 : lead < 0xF0 ? 3 : 4;
}

size_t tlb_utf8_decode(const unsigned char *p, size_t left, int32_t *c)
{
	static const unsigned char lead_bits[] = {0, 0x7F, 0x1F, 0x0F, 0x07};
	unsigned char again[TLB_UTF8_BYTES_MAX];
	size_t len = length_by_lead(p[0]);
	size_t i;

	if (len == 0 || len > left)
		return 0;
	*c = p[0] & lead_bits[len];
	for (i = 1; i < len; i++)
		*c = *c << 6 | (p[i] & 0x3F);
	/* Also tells overlong forms and bytes that continue no character. */
	if (*c > TLB_UTF8_CHARACTER_MAX || tlb_utf8_encode(*c, again) != len ||
	    memcmp(again, p, len) != 0)
		return 0;
	return len;
}
