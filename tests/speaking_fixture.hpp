// Forwards to the header's new name until the tests that include this one are changed.
#pragma once
#include "header_dialect_fixture.hpp"
