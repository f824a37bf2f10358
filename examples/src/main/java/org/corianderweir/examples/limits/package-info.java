/** Embeds the limits of the library in a program of its own. */
@NullMarked
package org.corianderweir.examples.limits;

import org.jspecify.annotations.NullMarked;
