"""Generate the typed dictionaries of the schemas, or check that they are current."""

import pathlib
import sys
import tempfile

import click
import datamodel_code_generator as generator
from datamodel_code_generator import format as generator_format

SCHEMA_DIRECTORY = pathlib.Path(__file__).parents[1] / "src/wasabivalve/schema"


def render(schema: pathlib.Path) -> str:
    """Return the generated module of one schema."""
    with tempfile.TemporaryDirectory() as directory:
        output = pathlib.Path(directory) / "generated.py"
        generator.generate(
            schema,
            input_file_type=generator.InputFileType.JsonSchema,
            output=output,
            output_model_type=generator.DataModelType.TypingTypedDict,
            target_python_version=generator_format.PythonVersion.PY_311,
            use_schema_description=True,
            disable_timestamp=True,
            formatters=[generator_format.Formatter.RUFF_FORMAT],
        )
        return output.read_text()


@click.command()
@click.option("--check", is_flag=True, help="Fail when a generated file is stale.")
def main(check: bool) -> None:
    """Generate one Python module for each schema."""
    stale = []
    for schema in sorted(SCHEMA_DIRECTORY.glob("*.json")):
        target = schema.with_name(f"{schema.stem}_generated.py")
        text = render(schema)
        if target.exists() and target.read_text() == text:
            continue
        if check:
            stale.append(target.name)
        else:
            target.write_text(text)
    for name in stale:
        click.echo(f"{name} is stale: run tools/generate_schema.py", err=True)
    sys.exit(1 if stale else 0)


if __name__ == "__main__":
    main()
