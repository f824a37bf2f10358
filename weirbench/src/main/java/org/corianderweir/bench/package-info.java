/**
 * The program {@code weirbench}: stand-ins for the systems around the daemons, and tools that test
 * and measure the daemons.
 */
@NullMarked
package org.corianderweir.bench;

import org.jspecify.annotations.NullMarked;
