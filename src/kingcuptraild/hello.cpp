#include "hello.h"

namespace kingcuptrail {

wire::HelloT makeHello(const Settings& settings, wire::Role role)
{
    wire::HelloT hello;
    hello.role = role;
    hello.name = settings.name;
    hello.data_centre = settings.dataCentre;
    return hello;
}

}
