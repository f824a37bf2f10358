/** Checks the promises of the system against records kept outside the daemons under test. */
@NullMarked
package org.corianderweir.bench.observer;

import org.jspecify.annotations.NullMarked;
