/* Buffer sizes of the identifiers that daemons, engines and booking tables share, including the
 * terminating null byte. */
#ifndef TLB_IDENT_H
#define TLB_IDENT_H

enum {
	TLB_REQUEST_ID_LEN = 64,
	TLB_OWNER_LEN = 80, /* "<vm id>/<incarnation>" */
};

#endif
