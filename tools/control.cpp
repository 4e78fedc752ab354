// primrose-control: a control instance.
#include <cstdio>

int main()
{
    std::puts("primrose-control " PRIMROSEHEAD_VERSION);
}
