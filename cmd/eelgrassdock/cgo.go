package main

import "C" // makes the linker link the program against the C library, as the platform expects
