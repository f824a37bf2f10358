/** An experiment that compares strategies for choosing a backend server; see decision 0031. */
@NullMarked
package org.corianderweir.bench.choice;

import org.jspecify.annotations.NullMarked;
