/** Example of a program that embeds the fleet-wide limits of the library. */
@NullMarked
package org.corianderweir.examples.limits;

import org.jspecify.annotations.NullMarked;
