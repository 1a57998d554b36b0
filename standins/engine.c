/* Entry point of the engine stand-in. */
int main(void)
{
	return 0;
}
