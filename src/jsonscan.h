/* Finds where JSON values end, without parsing them: a long text can be parsed value by value. */
#ifndef TLB_JSONSCAN_H
#define TLB_JSONSCAN_H

/* Returns the first character from p on that is not white space, or end. */
const char *tlb_json_skip_space(const char *p, const char *end);
/* Returns the end of the value that begins at p, or NULL when the text ends inside it. Of a text
 * that is not valid JSON, the result is some position up to end. */
const char *tlb_json_value_end(const char *p, const char *end);

/* Returns how deeply objects and arrays are nested in the text, 0 for a scalar. */
int tlb_json_depth(const char *p, const char *end);

#endif
