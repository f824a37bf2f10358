/** Runs scenarios: a fleet of processes under load, with changes by operators and faults. */
@NullMarked
package org.corianderweir.bench.scenario;

import org.jspecify.annotations.NullMarked;
