/*
 * Preloaded into a daemon of a test: libcurl has no memory for new transfers while the file
 * NOMEMORY_FILE exists.
 */
#include <curl/curl.h>
#include <dlfcn.h>
#include <stdlib.h>
#include <unistd.h>

CURLMcode curl_multi_add_handle(CURLM *multi, CURL *easy)
{
	CURLMcode (*add)(CURLM *, CURL *) =
		(CURLMcode(*)(CURLM *, CURL *))dlsym(RTLD_NEXT, "curl_multi_add_handle");
	const char *path = getenv("NOMEMORY_FILE");

	if (path && access(path, F_OK) == 0)
		return CURLM_OUT_OF_MEMORY;
	return add(multi, easy);
}
