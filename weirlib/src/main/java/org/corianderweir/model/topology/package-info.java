/** Entry instances and where they stand. */
@NullMarked
package org.corianderweir.model.topology;

import org.jspecify.annotations.NullMarked;
