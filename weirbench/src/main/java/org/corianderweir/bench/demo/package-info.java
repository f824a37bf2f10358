/** The demonstration: the whole path as separate processes. */
@NullMarked
package org.corianderweir.bench.demo;

import org.jspecify.annotations.NullMarked;
