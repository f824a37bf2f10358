/**
 * Measures how long a change of the configuration takes to come into force on a fleet of real
 * processes.
 */
@NullMarked
package org.corianderweir.bench.configuration;

import org.jspecify.annotations.NullMarked;
