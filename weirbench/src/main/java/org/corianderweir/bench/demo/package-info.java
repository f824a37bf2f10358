/** The demonstration, which runs the whole system as separate processes. */
@NullMarked
package org.corianderweir.bench.demo;

import org.jspecify.annotations.NullMarked;
