// A request that crashes each engine that begins to run it comes again at one entry VM
// after the other.
#include "../support-3/crashing_request.hh"

int main(int, char** aArguments)
{
  standin::CrashingRequestPlay play;
  play.vms = 9;
  play.comings = 12;
  play.vmOf = [](int aComing) { return aComing % 9; };
  standin::Play(play, aArguments);
}
