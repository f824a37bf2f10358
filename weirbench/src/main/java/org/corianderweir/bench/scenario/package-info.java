/** Runs a fleet of processes, load and faults, and judges the run. */
@NullMarked
package org.corianderweir.bench.scenario;

import org.jspecify.annotations.NullMarked;
