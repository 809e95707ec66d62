#pragma once

/// Decision which requests run now, wait, or are refused.
#include "admission/AdmissionController.h"
#include "admission/AdmissionSettings.h"
#include "admission/Arrival.h"
