/* Entry point of toucanlbd. */
int main(void)
{
	return 0;
}
