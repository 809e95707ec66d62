#pragma once

/// Time, identifiers, results, random numbers, hashing, metrics, logging, settings and
/// command lines: what every other module builds on.
#include "commandline/CommandLine.h"
#include "commandline/ProgramStart.h"
#include "errors/Result.h"
#include "hashing/Fingerprint.h"
#include "identifiers/Identifiers.h"
#include "logging/Logging.h"
#include "metrics/MetricsRegistry.h"
#include "network/Endpoint.h"
#include "random/Random.h"
#include "serialization/BoundedJson.h"
#include "settings/EndpointSetting.h"
#include "settings/SettingsReader.h"
#include "time/BootClock.h"
