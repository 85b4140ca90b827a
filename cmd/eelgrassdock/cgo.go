package main

import "C" // the platform runs programs that are linked against the C library
