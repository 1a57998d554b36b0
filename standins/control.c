/* Fault control shared by all stand-ins. */
typedef int standin_placeholder;
