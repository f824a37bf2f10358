/** Measures how fast a change of the configuration is in force on a fleet of real processes. */
@NullMarked
package org.corianderweir.bench.configuration;

import org.jspecify.annotations.NullMarked;
