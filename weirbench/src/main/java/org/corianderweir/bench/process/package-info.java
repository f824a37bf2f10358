/** Starts, calls and stops the processes of a demonstration or experiment. */
@NullMarked
package org.corianderweir.bench.process;

import org.jspecify.annotations.NullMarked;
