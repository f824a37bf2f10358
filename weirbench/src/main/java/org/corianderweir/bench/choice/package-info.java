/** An experiment that weighs ways to choose a backend server; see decision 0031. */
@NullMarked
package org.corianderweir.bench.choice;

import org.jspecify.annotations.NullMarked;
