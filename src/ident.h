/* Sizes of the identifiers that daemons, engines and books share, with their end marks. */
#ifndef TLB_IDENT_H
#define TLB_IDENT_H

enum {
	TLB_REQUEST_ID_LEN = 64,
	TLB_OWNER_LEN = 80, /* "<vm id>/<incarnation>" */
};

#endif
