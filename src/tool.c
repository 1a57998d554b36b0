/* Entry point of the toucanlb command-line tool. */
int main(void)
{
	return 0;
}
