#include "contracts/Contract.h"

namespace toucanstand {

const char* Name(WorkClass aClass)
{
  return aClass == WorkClass::Short ? "short" : "long";
}

} // namespace toucanstand
